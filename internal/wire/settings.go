package wire

import (
	"encoding/json"
	"fmt"

	"damsontrestle/internal/balancer"
)

// profile mirrors the settings object on the wire.
type profile struct {
	Balancers int `json:"balancers"`
	Index     int `json:"me"`
	Blend     struct {
		Total      float64 `json:"whole"`
		WorstClass float64 `json:"worst-class"`
	} `json:"blend"`
	Lanes []struct {
		Deadline  float64 `json:"deadline-ms"`
		Effect    string  `json:"effect"`
		Scope     string  `json:"key-scope"`
		LateShare float64 `json:"late-share"`
		Name      string  `json:"name"`
		Target    float64 `json:"target-ms"`
		Window    float64 `json:"window-ms"`
		Weight    float64 `json:"worth"`
	} `json:"lanes"`
	Limits struct {
		Cancelling    bool    `json:"cancelling"`
		MaxAttempts   int     `json:"max-attempts"`
		MaxRetryAfter float64 `json:"max-retry-after-ms"`
		RetryAfter    bool    `json:"retry-after"`
	} `json:"limits"`
	Registry string `json:"registry-mode"`
	Rules    struct {
		AskWithin float64 `json:"ask-within-ms"`
		SlowStart float64 `json:"cold-from"`
		WarmAfter float64 `json:"warm-after-ms"`
	} `json:"rules"`
	Tick float64 `json:"tick-ms"`
	Tier int     `json:"tier"`
}

// scopes by their names on the wire.
var scopes = map[string]balancer.Scope{
	"all": balancer.ScopeAll, "zone": balancer.ScopeZone, "cell": balancer.ScopeCell,
}

// effects by their names on the wire.
var effects = map[string]balancer.Effect{
	"read_like": balancer.Safe, "idempotency_key": balancer.Keyed,
}

// ParseSettings reads the settings object. Keys it does not know are ignored, an effect it does
// not know is Unsafe and a scope it does not know is the narrowest.
func ParseSettings(text []byte) (balancer.Settings, error) {
	var p profile
	if err := json.Unmarshal(text, &p); err != nil {
		return balancer.Settings{}, fmt.Errorf("settings: %w", err)
	}
	s := balancer.Settings{
		Balancers:        p.Balancers,
		Index:            p.Index,
		Tier:             p.Tier,
		TotalWeight:      p.Blend.Total,
		ClassWeight:      p.Blend.WorstClass,
		MaxAttempts:      p.Limits.MaxAttempts,
		MayCancel:        p.Limits.Cancelling,
		PollDiscovery:    p.Registry == "on_request",
		PollInterval:     fromMS(p.Rules.AskWithin),
		Tick:             fromMS(p.Tick),
		SlowStartMinimum: p.Rules.SlowStart,
		SlowStartWindow:  fromMS(p.Rules.WarmAfter),
	}
	if p.Limits.RetryAfter {
		s.MaxRetryAfter = fromMS(p.Limits.MaxRetryAfter)
	}
	for _, l := range p.Lanes {
		s.Classes = append(s.Classes, balancer.Class{
			Name:             l.Name,
			Effect:           effects[l.Effect],
			Scope:            scopes[l.Scope],
			Window:           fromMS(l.Window),
			LatencyObjective: fromMS(l.Target),
			Deadline:         fromMS(l.Deadline),
			LateShare:        l.LateShare,
			PriorityWeight:   l.Weight,
		})
	}
	return s, nil
}
