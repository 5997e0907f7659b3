// Command standin runs stand-ins for the systems around greengagelane: the platform,
// backend servers, the older system and callers.
package main

import (
	"os"

	"github.com/greengagelane/greengagelane/internal/stand"
	"github.com/greengagelane/greengagelane/internal/verb"
)

func main() {
	os.Exit(stand.Main(&verb.IO{Out: os.Stdout, Err: os.Stderr}, os.Args[1:]))
}
