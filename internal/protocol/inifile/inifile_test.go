package inifile

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The INI library would accept some mistakes with an unintended meaning, such as the
// last of two values for a key. Such text must be rejected with its line number.
func TestParseProblems(t *testing.T) {
	tests := map[string]struct{ text, want string }{
		"key twice":           {"[a]\nx = 1\nx = 2\n", `f:3: [a] x: set more than once`},
		"key twice, equal":    {"[a]\nx = 1\nx = 1\n", `f:3: [a] x: set more than once`},
		"key twice, empty":    {"[a]\nx =\nx =\n", `f:3: [a] x: set more than once`},
		"key without section": {"x = 1\n", `f:1: a key outside a section`},
		"no delimiter":        {"[a]\nx = 1\nnonsense\n", `f:3: key-value delimiter not found: nonsense`},
		"unclosed section":    {"[a\n", `f: unclosed section: [a`},
		"too large":           {strings.Repeat("; x\n", MaxBytes/4+1), `f: file has 8388612 bytes; the limit is 8388608`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, problems := Parse("f", []byte(test.text))
			is.Equal(strings.TrimSpace(problems.Error()), test.want)
		})
	}
}

func TestParseKeepsValuesAsWritten(t *testing.T) {
	is := is.New(t)
	sections, problems := Parse("f", []byte("[a]\nx = 1\n[a.b]\ny = %(x)s ; note\n[a]\nz = c:\\d\\\n"))
	is.Equal(len(problems), 0)
	is.Equal(sections, []Section{
		{Header: "a", Line: 1, Keys: []Key{{Name: "x", Value: "1", Line: 2}}},
		{Header: "a.b", Line: 3, Keys: []Key{{Name: "y", Value: "%(x)s", Line: 4}}},
		{Header: "a", Line: 5, Keys: []Key{{Name: "z", Value: `c:\d\`, Line: 6}}},
	})
}

// For any input, Parse returns, and every key of the sections it returns has a name.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[a]\nx = 1\n"))
	f.Add([]byte("[a]\nx = \"\"\"1\n2\"\"\"\n"))
	f.Add([]byte("[a]\n\"x\" = `1`\n- = 2\n"))
	f.Add([]byte("\xef\xbb\xbf[a b]\nx=%(x)s"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if bytes.Count(text, []byte("\n")) > 1000 {
			t.Skip()
		}
		sections, problems := Parse("f", text)
		_ = problems.Error()
		for _, section := range sections {
			for _, key := range section.Keys {
				if key.Name == "" {
					t.Fatal("a key without a name")
				}
			}
		}
	})
}
