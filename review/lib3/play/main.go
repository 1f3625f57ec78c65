//go:build review3

// Command play plays one case of the third review. It exits with 1 if the rule was broken, 0 if it
// held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"pinewinch.example/review/lib3"
)

const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// play is what a case needs.
type play struct {
	w       *lib3.World
	s       *lib3.System
	trouble bool
}

var cases = map[string]func(*play) int{
	"standing": standing,
	"late":     lateOrder,
	"schedule": schedule,
	"reborn":   reborn,
	"twice":    twice,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: play CASE RECORD")
		os.Exit(couldNot)
	}
	p := &play{w: lib3.NewWorld(os.Args[2], time.Now().UnixNano()), trouble: os.Getenv("TROUBLE") != "0"}
	p.s = lib3.NewSystem(p.w, 3, 2)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		p.s.Close()
		os.Exit(couldNot)
	}()
	code := cases[os.Args[1]](p)
	p.s.Close()
	for _, text := range p.w.Broken {
		fmt.Println(text)
	}
	if code == held && len(p.w.Broken) > 0 {
		code = broken
	}
	fmt.Println("result", code)
	p.w.Log("result %d", code)
	os.Exit(code)
}
