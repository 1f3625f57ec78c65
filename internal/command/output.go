package command

import (
	"encoding/json"

	"github.com/olekukonko/tablewriter"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// Values of the flag -o.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// print writes value as JSON or rows as a table, depending on the output format.
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
