package config

import (
	"fmt"
	"slices"

	"damsontrestle/internal/route"
)

func (k *checker) routes() {
	if len(k.Routes) == 0 {
		k.fail("route", "the block is missing; at least one is required")
		return
	}
	for _, r := range k.Routes {
		k.name("route."+r.Name, r.Name)
	}
	names := k.routeNames()
	_, problems := route.Compile(k.Routes, names)
	for _, p := range problems {
		path := "route"
		switch {
		case p.Class != "":
			path = "class." + p.Class
		case p.Route >= 0:
			path += "." + k.Routes[p.Route].Name
		}
		if p.Field != "" {
			path += "." + p.Field
		}
		k.fail(path, "%s", p.Message)
	}
	for _, r := range k.Routes {
		if len(r.To) > 1 {
			for _, c := range k.Classes {
				if c.Effect == Keyed && (len(r.Classes) == 0 || slices.Contains(r.Classes, c.Name)) {
					k.warn("route."+r.Name, "it splits the keyed class %q between pools: requests are assigned by key, so that a retry reaches the same servers, but a change of weights moves keys to other pools", c.Name)
				}
			}
		}
	}
}

func (k *checker) routeNames() route.Names {
	var n route.Names
	for _, l := range k.Listeners {
		n.Listeners = append(n.Listeners, l.Name)
	}
	for _, c := range k.Classes {
		n.Classes = append(n.Classes, c.Name)
	}
	for _, p := range k.Pools {
		n.Pools = append(n.Pools, p.Name)
	}
	return n
}

// RouteTable compiles the routes of a checked configuration.
func (c *Config) RouteTable() (*route.Table, error) {
	t, problems := route.Compile(c.Routes, (&checker{Config: c}).routeNames())
	if len(problems) > 0 {
		return nil, fmt.Errorf("config: routes: %s", problems[0])
	}
	return t, nil
}
