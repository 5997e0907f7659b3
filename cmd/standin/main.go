// Command standin runs small stand-ins for what surrounds greengagelane.
package main

import (
	"os"

	"github.com/greengagelane/greengagelane/internal/stand"
	"github.com/greengagelane/greengagelane/internal/verb"
)

func main() {
	os.Exit(stand.Main(&verb.IO{Out: os.Stdout, Err: os.Stderr}, os.Args[1:]))
}
