// Package spectest reads the tables of the design pages, so that tests can run each row as a test case.
package spectest

import (
	"fmt"
	"os"
	"strings"
)

// Row is a row of a table, with its cells by column name.
type Row struct {
	Line  int // line number in the page, from 1
	Cells map[string]string
}

// At returns the text of the cell in a column. It panics if the table has no such column.
func (r Row) At(column string) string {
	text, ok := r.Cells[column]
	if !ok {
		panic(fmt.Sprintf("the table has no column %q", column))
	}
	return text
}

// TB is the part of testing.TB that Rows uses.
type TB interface {
	Helper()
	Fatal(...any)
}

// Rows returns the rows that Table reads. An error fails the test.
func Rows(t TB, path, heading string) []Row {
	t.Helper()
	rows, err := Table(path, heading)
	if err != nil {
		t.Fatal(err)
	}
	return rows
}

// Table returns the rows of the first table below a heading of the page at path. Backquotes around a cell are removed.
func Table(path, heading string) ([]Row, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("spectest: read page: %w", err)
	}
	var (
		rows    []Row
		columns []string
		below   bool
	)
	for i, line := range strings.Split(string(text), "\n") {
		switch {
		case strings.HasPrefix(line, "#"):
			if below && len(rows) > 0 {
				return rows, nil
			}
			below = strings.TrimSpace(strings.TrimLeft(line, "#")) == heading
		case !below:
		case strings.HasPrefix(line, "|"):
			cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
			for k := range cells {
				cells[k] = strings.Trim(strings.TrimSpace(cells[k]), "`")
			}
			switch {
			case columns == nil:
				columns = cells
			case strings.Trim(strings.Join(cells, ""), "-: ") == "":
			case len(cells) != len(columns):
				return nil, fmt.Errorf("spectest: %s:%d: the row has %d cells, the table has %d columns", path, i+1, len(cells), len(columns))
			default:
				r := Row{i + 1, map[string]string{}}
				for k, c := range columns {
					r.Cells[c] = cells[k]
				}
				rows = append(rows, r)
			}
		case len(rows) > 0:
			return rows, nil
		}
	}
	if len(rows) == 0 {
		return nil, fmt.Errorf("spectest: %s: no table below the heading %q", path, heading)
	}
	return rows, nil
}
