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

// Format is a way to print.
type Format string

// The formats.
const (
	FormatTable Format = "table"
	FormatJSON  Format = "json"
)

// Row is one printed row: a value for each column.
type Row []string

// Table is a table with named columns.
type Table struct {
	Columns []string
	Rows    []Row
}

// Print writes the sheet in the format.
func (s *Table) Print(w io.Writer, format Format) error {
	if format == FormatJSON {
		return s.printJSON(w)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, strings.Join(s.Columns, "\t"))
	for _, row := range s.Rows {
		_, _ = fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	return nil
}

// printJSON writes a list with one object for each row.
func (s *Table) printJSON(w io.Writer) error {
	objects := make([]map[string]string, 0, len(s.Rows))
	for _, row := range s.Rows {
		object := make(map[string]string, len(row))
		for i, value := range row {
			object[s.Columns[i]] = value
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
