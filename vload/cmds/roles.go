package cmds

import (
	"context"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"verbenaroad.example/vload/services/roles"
)

// rolesCommand implements the subcommand roles: it reads log lines and reports what each role costs.
type rolesCommand struct {
	out io.Writer
}

// newRolesCommand returns the subcommand that tells what the roles of a run's ingresses cost.
func newRolesCommand(out io.Writer) *ffcli.Command {
	c := &rolesCommand{out: out}
	return &ffcli.Command{
		Name:       "roles",
		ShortUsage: "vload roles FILE...",
		ShortHelp:  "from the log lines of ingresses: what each role costs, and how long changes take to reach all",
		FlagSet:    newFlags("roles"),
		Exec:       c.exec,
	}
}

// exec reads all log files and prints the report.
func (c *rolesCommand) exec(_ context.Context, files []string) error {
	if len(files) == 0 {
		return ErrCommand.New("roles: no log files given")
	}
	in, closeFiles, err := openFiles(files)
	if err != nil {
		return err
	}
	defer closeFiles()
	report := roles.NewReport()
	if err := report.Read(in); err != nil {
		return err
	}
	return report.Write(c.out)
}
