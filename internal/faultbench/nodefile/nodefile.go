// Package nodefile generates the configuration file of a node in an experiment.
package nodefile

import (
	"bytes"
	"fmt"
	"text/template"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/config"
	"damsontrestle/internal/faultbench/experiment"
)

// Node holds the settings of a node that are not part of the experiment.
type Node struct {
	Index, Copies int
	Zone          string
	Listen        string // address
	Registry      string // address of its registry agent
	Descriptors   int
	Connections   int // maximum number, to servers
	Peers         *Peers
}

// Peers configures the membership of a node.
type Peers struct {
	Listen, Advertise, KeyFile, Region string
	Seeds                              []string
	Period, Fresh                      time.Duration
}

// Pool is the name of the only pool.
const Pool = "servers"

var fileTemplate = template.Must(template.New("node").Parse(`node "n{{.Index}}" {
  zone = "{{.Zone}}"
  limits {
    memory      = "64MiB"
    descriptors = {{.Descriptors}}
    cores       = 1
  }
{{- with .Peers}}
  peers {
    listen    = "{{.Listen}}"
    advertise = "{{.Advertise}}"
    key_file  = "{{.KeyFile}}"
{{- if .Region}}
    region    = "{{.Region}}"
{{- end}}
    period    = "{{.Period}}"
{{- if .Fresh}}
    fresh     = "{{.Fresh}}"
{{- end}}
    seeds     = [{{range $i, $s := .Seeds}}{{if $i}}, {{end}}"{{$s}}"{{end}}]
  }
{{- end}}
}
{{range .Classes}}
class "{{.Name}}" {
  effect   = "{{.Effect}}"
  aim      = "{{.LatencyObjective}}"
  deadline = "{{.Deadline}}"
  worth    = {{.PriorityWeight}}
}
{{end}}
listener "callers" {
  address = "{{.Listen}}"
}

pool "servers" {
  attempts = 3
  copies {
    count = {{.Copies}}
    index = {{.Index}}
  }
  connections {
    most            = {{.Connections}}
    idle            = "60s"
    connect_timeout = "1s"
  }
  slow_start {
    from = {{.ColdFrom}}
    over = "{{.ColdOver}}"
  }
{{- if .Reports}}
  load_reports {
    busy = "inflight"
{{- if .Asks}}
    ask  = {{.Asks}}
{{- end}}
  }
{{- end}}
  registry {
    address = "{{.Registry}}"
  }
}

route "all" {
  default = true
  pool    = "servers"
}
`))

// Text returns the configuration file of a node.
func Text(e *experiment.Experiment, n Node) ([]byte, error) {
	slowStarting := experiment.Servers{SlowStartMinimum: 1}
	reports := true
	for _, g := range e.Servers {
		reports = reports && g.ReportsLoad
		if g.SlowStartWindow > slowStarting.SlowStartWindow { // the longest slow start applies to all servers
			slowStarting = g
		}
	}
	if n.Descriptors == 0 {
		n.Descriptors = 512
	}
	if n.Connections == 0 {
		n.Connections = 200
	}
	var out bytes.Buffer
	err := fileTemplate.Execute(&out, struct {
		Node
		Classes  []experiment.Class
		ColdFrom float64
		ColdOver any
		Reports  bool
		Asks     int
	}{n, e.Classes, slowStarting.SlowStartMinimum, slowStarting.SlowStartWindow, reports, e.NodeGroup(n.Index).PollChoices})
	if err != nil {
		return nil, fmt.Errorf("generate configuration of node %d: %w", n.Index, err)
	}
	return out.Bytes(), nil
}

// Settings returns the balancer settings that the program derives from the node's file.
func Settings(e *experiment.Experiment, n Node) (balancer.Settings, error) {
	n.Listen, n.Registry = "127.0.0.1:1", "127.0.0.1:2"
	text, err := Text(e, n)
	if err != nil {
		return balancer.Settings{}, err
	}
	c, problems := config.Parse(text, fmt.Sprintf("n%d.hcl", n.Index))
	if err := problems.Err(); err != nil {
		return balancer.Settings{}, err
	}
	return c.BalancerSettings(c.Pools[0]), nil
}
