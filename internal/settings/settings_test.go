package settings

import (
	"errors"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

const (
	hashA = "sha256:aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	hashB = "sha256:bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
)

func validSettings(folder string) string {
	return `[instance]
name = i1
data_centre = bangor
listen_http = 10.0.0.1:7100
listen_peer = 10.0.0.1:7200
data_folder = ` + folder + `
[peers]
i1 = 10.0.0.1:7200
i2 = [2001:db8::2]:7200
[control]
voters = i1
[customers]
crews = ` + hashA + `
[operators]
ops = ` + hashB + `
`
}

func TestParseValidSettings(t *testing.T) {
	is := is.New(t)
	s, err := Parse("f", []byte(validSettings(t.TempDir())))
	is.NoErr(err)
	is.Equal(s.Instance.Name, "i1")
	is.Equal(s.Peers["i2"].Port(), uint16(7200))
	is.Equal(s.Upstreams.Lease, 10*time.Second)
	is.Equal(s.Log, Log{Level: "info", Format: "text"})
	is.Equal(len(s.Customers["crews"]), 32)
}

// Each case changes one part of valid settings and lists every problem that must
// be reported, with line, section, key and reason.
func TestParseProblems(t *testing.T) {
	tests := map[string]struct{ old, new, want string }{
		"host name":        {"10.0.0.1:7100", "entry1:7100", `f:4: [instance] listen_http: "entry1:7100" is not an IP number and a port`},
		"no port":          {"10.0.0.1:7100", "10.0.0.1", `f:4: [instance] listen_http: "10.0.0.1" is not an IP number and a port`},
		"port 0":           {"10.0.0.1:7100", "10.0.0.1:0", `f:4: [instance] listen_http: "10.0.0.1:0" is not an IP number and a port`},
		"peer's host name": {"[2001:db8::2]:7200", "i2:7200", `f:9: [peers] i2: "i2:7200" is not an IP number and a port`},
		"no folder":        {"data_folder = ", "data_folder = /nowhere", `f:6: [instance] data_folder: /nowhereFOLDER is not a folder`},
		"voter, no folder": {"data_folder", "; data_folder", `f:1: [instance] data_folder: missing, and this instance is a voter`},
		"unknown section":  {"[control]", "[contrl]\n[control]", `f:10: [contrl]: unknown section`},
		"unknown key":      {"voters = i1", "voters = i1\nvoter = i2", `f:12: [control] voter: unknown key`},
		"section twice":    {"[customers]", "[control]\n[customers]", `f:12: [control]: the section stands twice`},
		"key twice":        {"voters = i1", "voters = i1\nvoters = i2", `f:12: [control] voters: set more than once`},
		"unknown voter":    {"voters = i1", "voters = i1, i9", `f:11: [control] voters: "i9" is not among [peers]`},
		"voter twice":      {"voters = i1", "voters = i1, i1", `f:11: [control] voters: "i1" is listed more than once`},
		"no voters":        {"voters = i1", "", `f:10: [control] voters: missing`},
		"not among peers":  {"i1 = 10.0.0.1:7200\n", "", `f:7: [peers] i1: this instance is missing` + "\n" + `f:10: [control] voters: "i1" is not among [peers]`},
		"bad duration":     {"[customers]", "[stop]\ngrace = 30\n[customers]", `f:13: [stop] grace: "30" is not a duration such as 500ms or 10s`},
		"bad number":       {"[customers]", "[requests]\nqueue_length = many\n[customers]", `f:13: [requests] queue_length: "many" is not a whole number above 0`},
		"bad log":          {"[customers]", "[log]\nformat = xml\nlevel = loud\n[customers]", `f:13: [log] format: "xml" is not text or json` + "\n" + `f:14: [log] level: "loud" is not info or panic or fatal or error or warning or debug or trace`},
		"short repair":     {"voters = i1", "voters = i1\nrepair_after = 1m\nmax_repair_delay = 30s", `f:13: [control] max_repair_delay: shorter than repair_after`},
		"short lease":      {"[customers]", "[upstreams]\nlease = 2s\n[customers]", `f:13: [upstreams] lease: shorter than 3 announcement intervals`},
		"plain token":      {hashA, "crews-secret", `f:13: [customers] crews: not sha256: and 64 hex digits`},
		"shared token":     {hashB, hashA, `f:13: [customers] crews: has the same token as "ops"`},
		"half of TLS":      {"[customers]", "[tls]\nkey = f.key\n[customers]", `f:12: [tls] certificate: missing; the keys of this section are set together` + "\n" + `f:13: [tls] key: open f.key: no such file or directory`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			folder := t.TempDir()
			is.True(strings.Contains(validSettings(folder), test.old))
			_, err := Parse("f", []byte(strings.Replace(validSettings(folder), test.old, test.new, 1)))
			is.True(failure.Is(err, failure.BadSettings))
			var problems Problems
			is.True(errors.As(err, &problems))
			is.Equal(problems.Error(), strings.ReplaceAll(test.want, "FOLDER", folder))
		})
	}
}

// For any input, Parse returns either settings or an error, never both or neither.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings("")))
	f.Add([]byte("[instance]\nname = \"\"\"\n[peers]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("f", text)
		if (s == nil) == (err == nil) {
			t.Fatalf("settings %v and error %v", s, err)
		}
	})
}

// docs/SETTINGS.md must have a row for every key that the code reads, and no others.
func TestKeysAreDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	is.NoErr(err)
	r := newReader("f", nil, nil)
	r.settings()
	keys := 0
	for section, known := range r.knownKeys {
		for key := range known {
			keys++
			if !strings.Contains(string(page), "\n| `"+section+"."+key+"` |") {
				t.Errorf("docs/SETTINGS.md has no row for %s.%s", section, key)
			}
		}
	}
	rows := regexp.MustCompile("\n\\| `[a-z_]+\\.[a-z_]+` \\|").FindAllString(string(page), -1)
	is.Equal(len(rows), keys)
}

// The example in docs/SETTINGS.md must parse, with its data folder replaced by an
// existing one.
func TestDocumentedExampleParses(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	is.NoErr(err)
	_, example, found := strings.Cut(string(page), "```ini\n")
	is.True(found)
	example, _, _ = strings.Cut(example, "```")
	_, err = Parse("f", []byte(strings.Replace(example, "= data\n", "= "+t.TempDir()+"\n", 1)))
	is.NoErr(err)
}
