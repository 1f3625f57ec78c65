package failure

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Scripts act on exit codes: each is one code's own, and the page that lists
// them says what the programs do.
func TestCodesAreDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/API.md")
	is.NoErr(err)
	owner := map[int]Code{}
	for _, code := range Codes() {
		k := kinds[code]
		row := fmt.Sprintf("| `%s` | %d | %d | ", code, k.status, k.exit)
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/API.md has no row %q", row)
		}
		if other, taken := owner[k.exit]; taken {
			t.Errorf("%s and %s share exit code %d", code, other, k.exit)
		}
		owner[k.exit] = code
	}
	is.Equal(strings.Count(string(page), "\n| `")-documentedCalls(string(page)), len(kinds))
}

// documentedCalls counts the rows of the page's other tables that begin alike.
func documentedCalls(page string) int {
	codes := strings.Index(page, "## Codes")
	return strings.Count(page[:codes], "\n| `")
}
