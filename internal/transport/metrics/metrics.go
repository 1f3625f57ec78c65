// Package metrics serves the process's counters and histograms as text, a line each:
// the name, a space, the value; a map's members as name.member.
package metrics

import (
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
)

// skipped are variables that say nothing of what the process does.
var skipped = map[string]bool{"cmdline": true, "memstats": true}

// Handler answers every path with all metrics.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		expvar.Do(func(variable expvar.KeyValue) {
			if !skipped[variable.Key] {
				write(w, variable.Key, variable.Value.String())
			}
		})
	})
}

func write(w io.Writer, name, value string) {
	var members map[string]json.Number
	if json.Unmarshal([]byte(value), &members) != nil {
		fmt.Fprintln(w, name, value)
		return
	}
	for _, member := range slices.Sorted(maps.Keys(members)) {
		fmt.Fprintln(w, name+"."+member, members[member])
	}
}
