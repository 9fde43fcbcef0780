package spectest

import (
	"os"
	"path/filepath"
	"testing"
)

func TestTable(t *testing.T) {
	path := filepath.Join(t.TempDir(), "page.md")
	os.WriteFile(path, []byte("# A\n\n## One\ntext\n\n| given | outcome |\n| --- | --- |\n| `x` | y z |\n| | w |\n\ntext\n\n## Two\n\n| a |\n|---|\n| b | c |\n"), 0o600)
	rows, err := Table(path, "One")
	if err != nil || len(rows) != 2 || rows[0].At("given") != "x" || rows[0].At("outcome") != "y z" || rows[1].At("given") != "" || rows[0].Line != 8 {
		t.Errorf("%+v, %v", rows, err)
	}
	for _, heading := range []string{"Two", "Three", "A"} {
		if rows, err := Table(path, heading); err == nil {
			t.Errorf("%s: %+v", heading, rows)
		}
	}
}
