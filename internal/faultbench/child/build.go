package child

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
)

// Builder builds the program once, with its fault points (build tag "rig"). The zero value is ready to use.
type Builder struct {
	once sync.Once
	dir  string
	err  error
}

// Path returns the path of the program. The first call builds it from the module of the working directory.
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

// RunTests implements a package's TestMain: it runs the tests, removes the built program, and exits.
func (b *Builder) RunTests(m interface{ Run() int }) {
	code := m.Run()
	if b.dir != "" {
		os.RemoveAll(b.dir)
	}
	os.Exit(code)
}
