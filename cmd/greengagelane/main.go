// Command greengagelane manages fleet capacity and maintenance. Its subcommands run an
// entry, or send commands and queries to running entries.
package main

import (
	"os"

	"github.com/greengagelane/greengagelane/internal/shell"
	"github.com/greengagelane/greengagelane/internal/verb"
)

func main() {
	os.Exit(shell.Main(&verb.IO{Out: os.Stdout, Err: os.Stderr}, os.Args[1:]))
}
