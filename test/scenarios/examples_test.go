package scenarios

import (
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// An example is a block with an HTTP request, followed by a block with the expected
// answer: its status, then lines that its header or body must contain.
var examplePattern = regexp.MustCompile("(?s)```http\n(.*?)```\\s+```answer\n(.*?)```")

// apiExamples FILE URL runs the examples of a page against an instance, in the order of
// the page.
func apiExamples(ts *testscript.TestScript, _ bool, args []string) {
	page, err := os.ReadFile(args[0])
	ts.Check(err)
	examples := examplePattern.FindAllStringSubmatch(string(page), -1)
	if len(examples) == 0 {
		ts.Fatalf("%s has no examples", args[0])
	}
	for _, example := range examples {
		ts.Logf("%s", example[1])
		got := send(ts, args[1], example[1])
		ts.Logf("%s", got)
		for i, line := range strings.Split(strings.TrimSpace(example[2]), "\n") {
			wanted := strings.TrimSpace(line)
			if i == 0 {
				wanted = "status: " + wanted
			}
			if !strings.Contains(got, wanted) {
				ts.Fatalf("the answer has no %q:\n%s", wanted, got)
			}
		}
	}
}

func send(ts *testscript.TestScript, server, example string) string {
	head, body, _ := strings.Cut(example, "\n\n")
	lines := strings.Split(strings.TrimSpace(head), "\n")
	method, path, _ := strings.Cut(lines[0], " ")
	request, err := http.NewRequest(method, server+path, strings.NewReader(strings.TrimSpace(body)))
	ts.Check(err)
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ": ")
		request.Header.Add(name, value)
	}
	client := http.Client{Timeout: waitTimeout}
	response, err := client.Do(request)
	ts.Check(err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	ts.Check(err)
	var header strings.Builder
	ts.Check(response.Header.Write(&header))
	return "status: " + strconv.Itoa(response.StatusCode) + "\n" + header.String() + string(text)
}
