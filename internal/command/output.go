package command

import (
	"encoding/json"

	"github.com/olekukonko/tablewriter"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// The values of -o.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// print shows a value as JSON, or rows as a table for people.
func (t *Tool) print(value any, header []string, rows [][]string) error {
	if t.format == formatJSON {
		return t.printJSON(value)
	}
	table := tablewriter.NewWriter(t.out)
	table.Header(header)
	if err := table.Bulk(rows); err != nil {
		return wrapOutput(err)
	}
	return wrapOutput(table.Render())
}

func (t *Tool) printJSON(value any) error {
	encoder := json.NewEncoder(t.out)
	encoder.SetIndent("", "  ")
	return wrapOutput(encoder.Encode(value))
}

func wrapOutput(err error) error {
	if err == nil {
		return nil
	}
	return failure.Wrap(failure.Internal, err, "print")
}
