package cli

import (
	"fmt"
	"slices"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
)

type completionCommand struct {
	Shell string `arg:"" enum:"bash,zsh,fish" help:"Shell: bash, zsh or fish."`
}

// Help implements kong.HelpProvider.
func (*completionCommand) Help() string {
	return `Examples:
  source <(carawayreel completion bash)
  carawayreel completion fish > ~/.config/fish/completions/carawayreel.fish`
}

// Run prints the completion script.
func (c *completionCommand) Run(s *session, model *kong.Kong) error {
	var script string
	switch c.Shell {
	case "fish":
		script = fishScript(model.Model.Node)
	case "zsh":
		script = "autoload -U +X bashcompinit && bashcompinit\n" + bashScript(model.Model.Node)
	default:
		script = bashScript(model.Model.Node)
	}
	_, err := fmt.Fprint(s.Stdout, script)
	return errors.Wrap(err, "write completion script")
}

// completionWords returns the subcommands and flags of a command.
func completionWords(node *kong.Node) []string {
	var result []string
	for _, child := range node.Children {
		if !child.Hidden {
			result = append(result, child.Name)
		}
	}
	for _, group := range node.AllFlags(true) {
		for _, flag := range group {
			result = append(result, "--"+flag.Name)
		}
	}
	slices.Sort(result)
	return slices.Compact(result)
}

func bashScript(node *kong.Node) string {
	var cases strings.Builder
	writeBashWordCases(&cases, node, "")
	return `_carawayreel() {
  local path="" word index
  for ((index = 1; index < COMP_CWORD; index++)); do
    word="${COMP_WORDS[index]}"
    case "$path $word" in
` + bashPathCases(node, "") + `    esac
  done
  local words=""
  case "$path" in
` + cases.String() + `  esac
  COMPREPLY=($(compgen -W "$words" -- "${COMP_WORDS[COMP_CWORD]}"))
}
complete -o default -F _carawayreel carawayreel
`
}

// bashPathCases returns the cases that append a subcommand to the command path.
func bashPathCases(node *kong.Node, path string) string {
	var result strings.Builder
	for _, child := range node.Children {
		childPath := path + " " + child.Name
		fmt.Fprintf(&result, "      %q) path=%q ;;\n", childPath, childPath)
		result.WriteString(bashPathCases(child, childPath))
	}
	return result.String()
}

// writeBashWordCases writes the cases that select the words to complete for a command
// path.
func writeBashWordCases(out *strings.Builder, node *kong.Node, path string) {
	fmt.Fprintf(out, "    %q) words=%q ;;\n", path, strings.Join(completionWords(node), " "))
	for _, child := range node.Children {
		writeBashWordCases(out, child, path+" "+child.Name)
	}
}

func fishScript(node *kong.Node) string {
	var out strings.Builder
	out.WriteString("complete -c carawayreel -f\n")
	for _, child := range node.Children {
		fmt.Fprintf(&out, "complete -c carawayreel -n __fish_use_subcommand -a %s -d %s\n",
			child.Name, fishQuote(child.Help))
		for _, word := range completionWords(child) {
			if name, isFlag := strings.CutPrefix(word, "--"); isFlag {
				fmt.Fprintf(&out, "complete -c carawayreel -n '__fish_seen_subcommand_from %s' -l %s\n", child.Name, name)
				continue
			}
			fmt.Fprintf(&out, "complete -c carawayreel -n '__fish_seen_subcommand_from %s' -a %s\n", child.Name, word)
		}
	}
	return out.String()
}

func fishQuote(text string) string {
	return "'" + strings.ReplaceAll(text, "'", `\'`) + "'"
}
