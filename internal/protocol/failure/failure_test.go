package failure

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Scripts depend on exit codes: each must belong to one error code, and docs/API.md
// must list every code with its HTTP status and exit code.
func TestCodesAreDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/API.md")
	is.NoErr(err)
	owner := map[int]Code{}
	for _, code := range Codes() {
		k := codeTable[code]
		row := fmt.Sprintf("| `%s` | %d | %d | ", code, k.status, k.exit)
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/API.md has no row %q", row)
		}
		if other, taken := owner[k.exit]; taken {
			t.Errorf("%s and %s share exit code %d", code, other, k.exit)
		}
		owner[k.exit] = code
	}
	is.Equal(strings.Count(string(page), "\n| `")-rowsBeforeCodes(string(page)), len(codeTable))
}

// rowsBeforeCodes counts the rows of the page's earlier tables that begin in the same
// way as those of the table of codes.
func rowsBeforeCodes(page string) int {
	codes := strings.Index(page, "## Codes")
	return strings.Count(page[:codes], "\n| `")
}
