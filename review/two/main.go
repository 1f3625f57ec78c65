// The stand-ins and cases of the second review: minions, a requester and an operator that
// follow the pages, and a driver for the project's own processes.
package main

import (
	"fmt"
	"os"
	"time"
)

// longest is how long a case may take.
const longest = 118 * time.Second

// cases are the cases by name. Each returns after it has judged what was seen.
var cases = map[string]func(c *caseRun){}

// caseRun is one run of a case.
type caseRun struct {
	w       *world
	trouble bool
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		os.Exit(2)
	}
	c := &caseRun{w: newWorld(os.Args[2]), trouble: os.Getenv("TROUBLE") != "0"}
	defer func() {
		if r := recover(); r != nil {
			shutdown()
			panic(r)
		}
	}()
	time.AfterFunc(longest, func() { cannotRun("the case takes longer than %v", longest) })
	cases[os.Args[1]](c)
	shutdown()
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	if len(c.w.broken) > 0 {
		fmt.Printf("the rule was broken %d times; the first: %s\n", len(c.w.broken), c.w.broken[0])
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
