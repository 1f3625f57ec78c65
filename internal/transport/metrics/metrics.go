// Package metrics serves the expvar variables of the process as plain text, one per line:
// the name, a space and the value. Members of maps are named name.member.
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

// excluded holds the expvar variables that are not metrics of this system.
var excluded = map[string]bool{"cmdline": true, "memstats": true}

// Handler returns a handler that answers every path with all metrics.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		expvar.Do(func(variable expvar.KeyValue) {
			if !excluded[variable.Key] {
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
