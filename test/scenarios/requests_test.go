package scenarios

import (
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// ask NAME COUNT URL SERVICE sends COUNT concurrent requests of the customer crews and does
// not wait for the answers, so that the instance may be suspended.
func ask(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[1])
	ts.Check(err)
	statuses := make(chan int, count)
	for range count {
		request, err := http.NewRequest(http.MethodPost, args[2]+"/v1/requests/"+args[3], strings.NewReader("{}"))
		ts.Check(err)
		request.Header.Set("Authorization", "Bearer crews-secret")
		go func() {
			client := http.Client{Timeout: waitTimeout}
			response, err := client.Do(request)
			if err != nil {
				statuses <- 0
				return
			}
			response.Body.Close()
			statuses <- response.StatusCode
		}()
	}
	fixtureOf(ts).asked[args[0]] = statuses
}

// asked NAME STATUS... waits for the answers to the requests of ask NAME; each must have
// one of the statuses.
func asked(ts *testscript.TestScript, _ bool, args []string) {
	statuses := fixtureOf(ts).asked[args[0]]
	for range cap(statuses) {
		status := <-statuses
		if !slices.Contains(args[1:], strconv.Itoa(status)) {
			ts.Fatalf("a request was answered with %d", status)
		}
	}
}
