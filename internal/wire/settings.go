package wire

import (
	"encoding/json"
	"fmt"

	"damsontrestle/internal/balancer"
)

// settingsObject is the JSON object of the settings.
type settingsObject struct {
	Balancers int `json:"balancers"`
	Index     int `json:"me"`
	Weights   struct {
		TotalWeight float64 `json:"whole"`
		ClassWeight float64 `json:"worst-class"`
	} `json:"blend"`
	Classes []struct {
		Deadline         float64 `json:"deadline-ms"`
		Effect           string  `json:"effect"`
		Scope            string  `json:"key-scope"`
		LateShare        float64 `json:"late-share"`
		Name             string  `json:"name"`
		LatencyObjective float64 `json:"target-ms"`
		Window           float64 `json:"window-ms"`
		PriorityWeight   float64 `json:"worth"`
	} `json:"lanes"`
	Limits struct {
		MayCancel     bool    `json:"cancelling"`
		MaxAttempts   int     `json:"max-attempts"`
		MaxRetryAfter float64 `json:"max-retry-after-ms"`
		RetryAfter    bool    `json:"retry-after"`
	} `json:"limits"`
	RegistryMode string `json:"registry-mode"`
	Rules        struct {
		PollInterval     float64 `json:"ask-within-ms"`
		SlowStartMinimum float64 `json:"cold-from"`
		SlowStartWindow  float64 `json:"warm-after-ms"`
	} `json:"rules"`
	Tick float64 `json:"tick-ms"`
	Tier int     `json:"tier"`
}

// scopes maps the protocol's names to scopes.
var scopes = map[string]balancer.Scope{
	"all": balancer.ScopeAll, "zone": balancer.ScopeZone, "cell": balancer.ScopeCell,
}

// effects maps the protocol's names to effects.
var effects = map[string]balancer.Effect{
	"read_like": balancer.Safe, "idempotency_key": balancer.Keyed,
}

// ParseSettings parses the JSON object of the settings. Unknown keys are ignored, an unknown effect is Unsafe, and an
// unknown scope is the narrowest.
func ParseSettings(text []byte) (balancer.Settings, error) {
	var object settingsObject
	if err := json.Unmarshal(text, &object); err != nil {
		return balancer.Settings{}, fmt.Errorf("settings: %w", err)
	}
	settings := balancer.Settings{
		Balancers:        object.Balancers,
		Index:            object.Index,
		Tier:             object.Tier,
		TotalWeight:      object.Weights.TotalWeight,
		ClassWeight:      object.Weights.ClassWeight,
		MaxAttempts:      object.Limits.MaxAttempts,
		MayCancel:        object.Limits.MayCancel,
		PollDiscovery:    object.RegistryMode == "on_request",
		PollInterval:     milliseconds(object.Rules.PollInterval),
		Tick:             milliseconds(object.Tick),
		SlowStartMinimum: object.Rules.SlowStartMinimum,
		SlowStartWindow:  milliseconds(object.Rules.SlowStartWindow),
	}
	if object.Limits.RetryAfter {
		settings.MaxRetryAfter = milliseconds(object.Limits.MaxRetryAfter)
	}
	for _, class := range object.Classes {
		settings.Classes = append(settings.Classes, balancer.Class{
			Name:             class.Name,
			Effect:           effects[class.Effect],
			Scope:            scopes[class.Scope],
			Window:           milliseconds(class.Window),
			LatencyObjective: milliseconds(class.LatencyObjective),
			Deadline:         milliseconds(class.Deadline),
			LateShare:        class.LateShare,
			PriorityWeight:   class.PriorityWeight,
		})
	}
	return settings, nil
}
