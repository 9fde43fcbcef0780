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

// The module is read by on-call engineers: the deploy file lists every one of its files as policy, and each file
// stays short, with short lines.
func TestModuleFilesAreListedAndReadable(t *testing.T) {
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindSubmatch(deploy)
	if list == nil {
		t.Fatal("deploy/balancer.toml has no policy list")
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
		t.Errorf("the policy list is %q, want every file of the module, %q", policy, files)
	}
	for _, name := range policy {
		text, err := os.ReadFile("../../" + name)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(string(text), "\n")
		if len(lines) > 400 {
			t.Errorf("%s has %d lines, want at most 400", name, len(lines))
		}
		for i, l := range lines {
			if n := utf8.RuneCountInString(strings.ReplaceAll(l, "\t", "    ")); n > 120 {
				t.Errorf("%s:%d has %d columns, want at most 120", name, i+1, n)
			}
		}
	}
}
