package codestyle

import (
	"os/exec"
	"strings"
	"testing"
)

const module = "damsontrestle"

// testOnly lists the folders below internal whose packages are for tests and benchmarks. The program must not import them.
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

// isTestOnly reports whether a package is only for tests and benchmarks: it is in a folder of testOnly, or its name ends in
// "test" as that of net/http/httptest does.
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
		t.Fatalf("go list -deps returned %d packages, want at least 20", len(packages))
	}
	for _, path := range packages {
		if isTestOnly(path) {
			t.Errorf("cmd/damsontrestle imports %s, which is only for tests", path)
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
			t.Errorf("testOnly lists internal/%s, which has no package", folder)
		}
	}
}
