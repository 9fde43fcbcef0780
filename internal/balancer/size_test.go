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

// On-call staff read the whole module at night: the deploy file names as its policy every file that decides, which are all
// of the module's but its interface, and each stays narrow.
func TestModuleStaysReadable(t *testing.T) {
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
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	files = slices.DeleteFunc(files, func(name string) bool {
		return strings.HasSuffix(name, "_test.go") || name == "balancer.go"
	})
	if slices.Sort(policy); !slices.Equal(policy, files) {
		t.Errorf("the policy is %q, want every file that decides, %q", policy, files)
	}
	for _, name := range policy {
		text, err := os.ReadFile("../../" + name)
		if err != nil {
			t.Fatal(err)
		}
		for i, l := range strings.Split(string(text), "\n") {
			if n := utf8.RuneCountInString(strings.ReplaceAll(l, "\t", "    ")); n > 120 {
				t.Errorf("%s:%d has %d columns, at most 120 are wanted", name, i+1, n)
			}
		}
	}
}
