package commands

import (
	"fmt"

	"github.com/urfave/cli/v2"
)

func init() { register(completionCommand{}) }

// completionCommand prints a shell script that completes commands and flags.
type completionCommand struct{}

func (completionCommand) Aliases() []string { return []string{"completion"} }
func (completionCommand) Usage() string {
	return "print a script for bash or zsh that completes commands and flags"
}
func (completionCommand) ArgsUsage() string { return "bash | zsh" }
func (completionCommand) Flags() []cli.Flag { return nil }

// The scripts run the program itself with the flag --generate-bash-completion of urfave/cli.
const (
	bashCompletion = `_lupinkeel() {
  local words=("${COMP_WORDS[@]:0:$COMP_CWORD}") cur="${COMP_WORDS[COMP_CWORD]}"
  [[ "$cur" == -* ]] && words+=("$cur")
  COMPREPLY=($(compgen -W "$("${words[@]}" --generate-bash-completion 2>/dev/null)" -- "$cur"))
}
complete -o bashdefault -o default -F _lupinkeel lupinkeel
`
	zshCompletion = `#compdef lupinkeel
_lupinkeel() {
  local -a options
  options=("${(@f)$(_CLI_ZSH_AUTOCOMPLETE_HACK=1 ${words[@]:0:#words[@]-1} --generate-bash-completion 2>/dev/null)}")
  _describe 'values' options
}
compdef _lupinkeel lupinkeel
`
)

func (completionCommand) Execute(c *cli.Context) error {
	scripts := map[string]string{"bash": bashCompletion, "zsh": zshCompletion}
	script, ok := scripts[c.Args().First()]
	if !ok {
		return fmt.Errorf("%w: completion needs bash or zsh, not %q", ErrUsage, c.Args().First())
	}
	_, err := fmt.Fprint(c.App.Writer, script)
	return err
}
