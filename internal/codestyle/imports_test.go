package codestyle

import (
	"os/exec"
	"strings"
	"testing"
)

const module = "damsontrestle"

// testOnly are the folders below internal whose packages serve tests and benches. The program must not be built from them.
var testOnly = []string{
	"codestyle",
	"config/configtest",
	"eventqueue",
	"faultbench",
	"modelcheck",
	"simulation",
	"spectest",
	"state/statetest",
	"testpeer",
}

// isTestOnly says whether a package is for tests and benches alone: by its folder, or because its name ends in "test" as those of
// net/http/httptest do.
func isTestOnly(path string) bool {
	inside, ok := strings.CutPrefix(path, module+"/internal/")
	if !ok {
		return path == "testing" || strings.HasPrefix(path, "testing/")
	}
	if strings.HasSuffix(inside, "test") {
		return true
	}
	for _, folder := range testOnly {
		if inside == folder || strings.HasPrefix(inside, folder+"/") {
			return true
		}
	}
	return false
}

func goList(t *testing.T, args ...string) []string {
	t.Helper()
	cmd := exec.Command("go", append([]string{"list"}, args...)...)
	cmd.Dir = root
	var problems strings.Builder
	cmd.Stderr = &problems
	out, err := cmd.Output()
	if err != nil {
		t.Fatalf("go list %s: %v\n%s", strings.Join(args, " "), err, problems.String())
	}
	return strings.Fields(string(out))
}

func TestProgramImportsNoTestPackage(t *testing.T) {
	packages := goList(t, "-deps", "./cmd/damsontrestle")
	if len(packages) < 20 {
		t.Fatalf("the program is built from %d packages; that is too few to be true", len(packages))
	}
	for _, path := range packages {
		if isTestOnly(path) {
			t.Errorf("cmd/damsontrestle is built from %s, which is for tests", path)
		}
	}
}

func TestTestOnlyFoldersExist(t *testing.T) {
	packages := goList(t, "./internal/...")
	for _, folder := range testOnly {
		exists := false
		for _, path := range packages {
			inside := strings.TrimPrefix(path, module+"/internal/")
			exists = exists || inside == folder || strings.HasPrefix(inside, folder+"/")
		}
		if !exists {
			t.Errorf("internal/%s is listed as a folder for tests and has no package", folder)
		}
	}
}
