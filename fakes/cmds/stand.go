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
	// controlSuffix is added to the address file's name for the control address.
	controlSuffix = ".control"
	fileMode      = 0o644
)

// errCommand is the class of errors of the subcommands.
var errCommand = errs.Class("command") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// common holds the flags of every subcommand.
type common struct {
	name        string
	log         *zap.Logger
	listen      netip.AddrPort
	control     netip.AddrPort
	addressFile string
	ledgerFile  string
	grace       time.Duration
}

func newCommon(name string, log *zap.Logger, flags *flag.FlagSet) *common {
	c := &common{name: name, log: log}
	loopback := serve.AnyLoopbackPort()
	flags.TextVar(&c.listen, "listen", loopback, "address for callers; port 0 takes a free one")
	flags.TextVar(&c.control, "control", loopback, "address of the fault switch and the call counts")
	flags.StringVar(&c.addressFile, "address-file", "", "file that takes the bound address; the control address goes to the same name with "+controlSuffix)
	flags.DurationVar(&c.grace, "grace", defaultGrace, "how long calls may run on when the stand-in is stopped")
	return c
}

// addLedgerFlag is for the stand-ins that record their runs.
func (c *common) addLedgerFlag(flags *flag.FlagSet) {
	flags.StringVar(&c.ledgerFile, "ledger-file", "", "file that takes a JSON line at the start and the end of each run")
}

// openLedger returns the ledger that the flags ask for.
func (c *common) openLedger() (*ledger.Ledger, error) {
	if c.ledgerFile == "" {
		return ledger.NewLedger(nil), nil
	}
	file, err := os.OpenFile(c.ledgerFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, errCommand.Wrap(err)
	}
	return ledger.NewLedger(file), nil
}

// run serves handler until ctx ends, then stops gracefully. books may be nil.
func (c *common) run(ctx context.Context, handler http.Handler, kindOf func(*http.Request) string, books *ledger.Ledger) error {
	server := serve.NewServer(serve.Options{Listen: c.listen, Handler: handler, KindOf: kindOf})
	if err := server.Start(); err != nil {
		return err
	}
	routes := server.NewControl()
	if books != nil {
		books.Mount(routes)
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

func (c *common) stop(server, control *serve.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.grace)
	defer cancel()
	err := server.Stop(ctx)
	_ = control.Stop(ctx)
	c.log.Info("stopped", zap.String("stand-in", c.name), zap.Bool("graceful", err == nil))
	return err
}

// announce tells the addresses; the callers' file comes last, so that both exist once it does.
func (c *common) announce(address, control netip.AddrPort) error {
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

// writeFile writes a file that readers see whole or not at all.
func writeFile(path, content string) error {
	temporary := path + ".new"
	if err := os.WriteFile(temporary, []byte(content+"\n"), fileMode); err != nil {
		return errCommand.Wrap(err)
	}
	return errCommand.Wrap(os.Rename(temporary, path))
}
