// Command pinewinch-standin runs simulated workers and minions for the quick start
// and the scenarios.
package main

import (
	"os"

	"pinewinch.example/pinewinch/internal/standin/standincmd"
)

func main() {
	os.Exit(standincmd.Main(os.Args[1:]))
}
