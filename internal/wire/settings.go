package wire

import (
	"encoding/json"
	"fmt"

	"damsontrestle/internal/balancer"
)

// profile mirrors the settings object on the wire.
type settingsObject struct {
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
	var object settingsObject
	if err := json.Unmarshal(text, &object); err != nil {
		return balancer.Settings{}, fmt.Errorf("settings: %w", err)
	}
	settings := balancer.Settings{
		Balancers:        object.Balancers,
		Index:            object.Index,
		Tier:             object.Tier,
		TotalWeight:      object.Blend.Total,
		ClassWeight:      object.Blend.WorstClass,
		MaxAttempts:      object.Limits.MaxAttempts,
		MayCancel:        object.Limits.Cancelling,
		PollDiscovery:    object.Registry == "on_request",
		PollInterval:     milliseconds(object.Rules.AskWithin),
		Tick:             milliseconds(object.Tick),
		SlowStartMinimum: object.Rules.SlowStart,
		SlowStartWindow:  milliseconds(object.Rules.WarmAfter),
	}
	if object.Limits.RetryAfter {
		settings.MaxRetryAfter = milliseconds(object.Limits.MaxRetryAfter)
	}
	for _, class := range object.Lanes {
		settings.Classes = append(settings.Classes, balancer.Class{
			Name:             class.Name,
			Effect:           effects[class.Effect],
			Scope:            scopes[class.Scope],
			Window:           milliseconds(class.Window),
			LatencyObjective: milliseconds(class.Target),
			Deadline:         milliseconds(class.Deadline),
			LateShare:        class.LateShare,
			PriorityWeight:   class.Weight,
		})
	}
	return settings, nil
}
