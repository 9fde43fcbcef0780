package balancer

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"
)

// On-call engineers read the whole module at night: the deploy file names every file of it as its policy, and each stays
// narrow and short.
func TestModuleFilesAreListedAndReadable(t *testing.T) {
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindSubmatch(deploy)
	if list == nil {
		t.Fatal("deploy/balancer.toml names no policy")
	}
	var policy []string
	for _, quoted := range strings.Split(string(list[1]), ", ") {
		policy = append(policy, strings.Trim(quoted, `"`))
	}
	names, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	var files []string
	for _, name := range names {
		if !strings.HasSuffix(name, "_test.go") {
			files = append(files, "internal/balancer/"+name)
		}
	}
	slices.Sort(policy)
	if !slices.Equal(policy, files) {
		t.Errorf("the policy is %q, want every file of the module, %q", policy, files)
	}
	for _, name := range policy {
		text, err := os.ReadFile("../../" + name)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(string(text), "\n")
		if len(lines) > 400 {
			t.Errorf("%s has %d lines, at most 400 are wanted", name, len(lines))
		}
		for i, l := range lines {
			if n := utf8.RuneCountInString(strings.ReplaceAll(l, "\t", "    ")); n > 120 {
				t.Errorf("%s:%d has %d columns, at most 120 are wanted", name, i+1, n)
			}
		}
	}
}
