// Command pinewinchd runs one instance of pinewinch.
package main

import (
	"os"

	"pinewinch.example/pinewinch/internal/app"
)

func main() {
	os.Exit(app.Main(os.Args[1:]))
}
