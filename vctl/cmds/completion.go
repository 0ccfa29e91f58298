package cmds

import (
	"context"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"verbenaroad.example/share/models/config"
)

func (a *app) newCompletion() *ffcli.Command {
	return &ffcli.Command{
		Name:       "completion",
		ShortUsage: "vctl completion",
		ShortHelp:  "print the completion script for bash",
		LongHelp: strings.TrimSpace(`
Example:
  source <(vctl completion)`),
		Exec: func(context.Context, []string) error {
			a.printLinef("%s", a.completionScript())
			return nil
		},
	}
}

func (a *app) completionScript() string {
	var names []string
	for _, c := range a.newSubcommands() {
		names = append(names, c.Name)
	}
	var kinds []string
	for _, kind := range config.Kinds() {
		kinds = append(kinds, string(kind))
	}
	return strings.NewReplacer(
		"SUBCOMMANDS", strings.Join(names, " "),
		"KINDS", strings.Join(kinds, " "),
	).Replace(strings.TrimSpace(`
_vctl() {
  local word=${COMP_WORDS[COMP_CWORD]} command=${COMP_WORDS[1]}
  if [ "$COMP_CWORD" -eq 1 ]; then
    COMPREPLY=($(compgen -W "SUBCOMMANDS" -- "$word"))
    return
  fi
  case "$word" in
    -*)
      COMPREPLY=($(compgen -W "--server --token-file --ca-file --output --timeout --dry-run --check --change-id --base" -- "$word"))
      return ;;
  esac
  case "$command" in
    get) COMPREPLY=($(compgen -W "KINDS" -- "$word")) ;;
    label) COMPREPLY=($(compgen -W "team pipeline" -- "$word")) ;;
    claim) COMPREPLY=($(compgen -W "get resolve" -- "$word")) ;;
    apply|diff) COMPREPLY=($(compgen -f -- "$word")) ;;
  esac
}
complete -F _vctl vctl`))
}
