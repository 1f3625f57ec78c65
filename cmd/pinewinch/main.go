// Command pinewinch is the command-line tool for operators and callers.
package main

import (
	"os"

	"pinewinch.example/pinewinch/internal/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
