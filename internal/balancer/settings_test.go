package balancer

import (
	"math"
	"strings"
	"testing"
)

func TestSettingsErrorsNameTheField(t *testing.T) {
	for want, change := range map[string]func(*Settings){
		"Classes is empty":  func(s *Settings) { s.Classes = nil },
		"Classes[0].Name":   func(s *Settings) { s.Classes[0].Name = "" },
		"Classes[1].Window": func(s *Settings) { s.Classes[1].Window = -1 },
		"Classes[2].Name":   func(s *Settings) { s.Classes[2].Name = "get" },
		"PriorityWeight":    func(s *Settings) { s.Classes[0].PriorityWeight = math.Inf(1) },
		"TotalWeight":       func(s *Settings) { s.TotalWeight = math.NaN() },
		"Index":             func(s *Settings) { s.Index = -1 },
		"SlowStartMinimum":  func(s *Settings) { s.SlowStartMinimum = 1.5 },
		"SlowStartWindow":   func(s *Settings) { s.SlowStartWindow = -1 },
		"LateShare":         func(s *Settings) { s.Classes[0].LateShare = 2 },
	} {
		s := testSettings()
		change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %q", err, want)
		}
	}
}
