// Package spectest reads the tables of the design pages, so that tests play each row of what the pages say.
package spectest

import (
	"fmt"
	"os"
	"strings"
)

// Row is a row of a table, by the names of its columns.
type Row struct {
	Line  int // of the page
	Cells map[string]string
}

// At is the text of a cell; a column that the table does not have is a defect of whoever asks.
func (r Row) At(column string) string {
	text, ok := r.Cells[column]
	if !ok {
		panic(fmt.Sprintf("the table has no column %q", column))
	}
	return text
}

// TB is what a test gives.
type TB interface {
	Helper()
	Fatal(...any)
}

// Rows are those of Table; a page that has no such table ends the test.
func Rows(t TB, path, heading string) []Row {
	t.Helper()
	rows, err := Table(path, heading)
	if err != nil {
		t.Fatal(err)
	}
	return rows
}

// Table is the first table below a heading of a page. Backquotes round a cell are left out.
func Table(path, heading string) ([]Row, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("pages: %w", err)
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
				return nil, fmt.Errorf("pages: %s:%d: %d cells, the table has %d columns", path, i+1, len(cells), len(columns))
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
		return nil, fmt.Errorf("pages: %s: no table below %q", path, heading)
	}
	return rows, nil
}
