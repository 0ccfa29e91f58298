package cmds

import (
	"context"
	"flag"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"verbenaroad.example/fakes/modules/ledger"
	"verbenaroad.example/fakes/modules/serve"
)

const (
	defaultGrace = 10 * time.Second
	// controlSuffix is appended to the name of the address file to name the file with the control
	// address.
	controlSuffix = ".control"
	fileMode      = 0o644
)

// errCommand is the class of errors of the subcommands.
var errCommand = errs.Class("command") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// standIn holds the name, the logger and the common flags of a stand-in's subcommand.
type standIn struct {
	name        string
	log         *zap.Logger
	listen      netip.AddrPort
	control     netip.AddrPort
	addressFile string
	ledgerFile  string
	grace       time.Duration
}

func newStandIn(name string, log *zap.Logger, flags *flag.FlagSet) *standIn {
	c := &standIn{name: name, log: log}
	loopback := serve.AnyLoopbackPort()
	flags.TextVar(&c.listen, "listen", loopback, "address for callers; port 0 takes a free one")
	flags.TextVar(&c.control, "control", loopback, "address of the fault switch and the call counts")
	flags.StringVar(&c.addressFile, "address-file", "", "file that takes the bound address; the control address goes to the same name with "+controlSuffix)
	flags.DurationVar(&c.grace, "grace", defaultGrace, "how long calls may run on when the stand-in is stopped")
	return c
}

// addLedgerFlag adds the flag of the stand-ins that record their runs.
func (c *standIn) addLedgerFlag(flags *flag.FlagSet) {
	flags.StringVar(&c.ledgerFile, "ledger-file", "", "file that takes a JSON line at the start and the end of each run")
}

// openLedger returns a ledger that appends to the file set by the flag, or that has no file if none
// is set.
func (c *standIn) openLedger() (*ledger.Ledger, error) {
	if c.ledgerFile == "" {
		return ledger.NewLedger(nil), nil
	}
	file, err := os.OpenFile(c.ledgerFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, errCommand.Wrap(err)
	}
	return ledger.NewLedger(file), nil
}

// run serves handler and the control address until ctx ends, then stops gracefully. If runLedger is
// not nil, the control address serves it too.
func (c *standIn) run(ctx context.Context, handler http.Handler, kindOf func(*http.Request) string, runLedger *ledger.Ledger) error {
	server := serve.NewServer(serve.Options{Listen: c.listen, Handler: handler, KindOf: kindOf})
	if err := server.Start(); err != nil {
		return err
	}
	routes := server.NewControl()
	if runLedger != nil {
		runLedger.Mount(routes)
	}
	control := serve.NewServer(serve.Options{Listen: c.control, Handler: routes, KindOf: kindOf})
	if err := control.Start(); err != nil {
		return err
	}
	if err := c.announce(server.Address(), control.Address()); err != nil {
		return err
	}
	<-ctx.Done()
	return c.stop(server, control)
}

// stop stops both servers within the grace period and logs whether the calls in flight could end.
func (c *standIn) stop(server, control *serve.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.grace)
	defer cancel()
	err := server.Stop(ctx)
	_ = control.Stop(ctx)
	c.log.Info("stopped", zap.String("stand-in", c.name), zap.Bool("graceful", err == nil))
	return err
}

// announce logs the addresses and writes the address files. The file with the callers' address is
// written last, so that both files exist once it does.
func (c *standIn) announce(address, control netip.AddrPort) error {
	c.log.Info("listening",
		zap.String("stand-in", c.name),
		zap.Stringer("address", address),
		zap.Stringer("control", control))
	if c.addressFile == "" {
		return nil
	}
	if err := writeFile(c.addressFile+controlSuffix, control.String()); err != nil {
		return err
	}
	return writeFile(c.addressFile, address.String())
}

// writeFile replaces a file atomically, so that readers never see partial content.
func writeFile(path, content string) error {
	temporary := path + ".new"
	if err := os.WriteFile(temporary, []byte(content+"\n"), fileMode); err != nil {
		return errCommand.Wrap(err)
	}
	return errCommand.Wrap(os.Rename(temporary, path))
}
