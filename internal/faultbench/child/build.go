package child

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
)

// Builder builds the program once for all that ask, with its faults (the tag "rig"). The zero value will do.
type Builder struct {
	once sync.Once
	dir  string
	err  error
}

// Path is where the program is. It builds with the module of the folder that it is called in.
func (b *Builder) Path() (string, error) {
	b.once.Do(func() {
		if b.dir, b.err = os.MkdirTemp("", "built"); b.err != nil {
			return
		}
		out, err := exec.Command("go", "build", "-tags", "rig", "-o", b.dir+"/", "damsontrestle/cmd/damsontrestle").CombinedOutput()
		if err != nil {
			b.err = fmt.Errorf("go build: %w\n%s", err, out)
		}
	})
	return filepath.Join(b.dir, "damsontrestle"), b.err
}

// Main is a package's TestMain: it runs the tests, removes what was built for them, and ends the process.
func (b *Builder) RunTests(m interface{ Run() int }) {
	code := m.Run()
	if b.dir != "" {
		os.RemoveAll(b.dir)
	}
	os.Exit(code)
}
