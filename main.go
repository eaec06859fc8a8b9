// Command lupinkeel serves models whose replicas span several machines.
package main

import (
	"os"

	"github.com/lupinkeel/lupinkeel/commands"
)

func main() {
	os.Exit(commands.Run(os.Args, os.Stdout, os.Stderr))
}
