// Command carawayreel is the command-line tool for callers and operators.
package main

import (
	"os"

	"github.com/carawayreel/carawayreel/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], cli.StandardEnvironment()))
}
