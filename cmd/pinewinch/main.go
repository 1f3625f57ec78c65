// Command pinewinch is the operators' and callers' tool.
package main

import (
	"os"

	"pinewinch.example/pinewinch/internal/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
