// Package output prints rows as a table for people or as JSON for programs. It
// imports the standard library only.
package output

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Format is an output format.
type Format string

// Output formats.
const (
	FormatTable Format = "table"
	FormatJSON  Format = "json"
)

// Row holds one value for each column.
type Row []string

// Table is a table with named columns.
type Table struct {
	Columns []string
	Rows    []Row
}

// Print writes the table to w in the format.
func (t *Table) Print(w io.Writer, format Format) error {
	if format == FormatJSON {
		return t.printJSON(w)
	}
	writer := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(writer, strings.Join(t.Columns, "\t"))
	for _, row := range t.Rows {
		_, _ = fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	if err := writer.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	return nil
}

// printJSON writes an array with one object for each row, keyed by the columns.
func (t *Table) printJSON(w io.Writer) error {
	objects := make([]map[string]string, 0, len(t.Rows))
	for _, row := range t.Rows {
		object := make(map[string]string, len(row))
		for i, value := range row {
			object[t.Columns[i]] = value
		}
		objects = append(objects, object)
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(objects); err != nil {
		return fmt.Errorf("print JSON: %w", err)
	}
	return nil
}
