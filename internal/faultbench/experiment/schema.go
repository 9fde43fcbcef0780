package experiment

import (
	"github.com/hashicorp/hcl/v2"
)

// The schema of an experiment file, decoded by gohcl.
type (
	file struct {
		Experiment *experimentBlock `hcl:"experiment,block"`
		Zones      []zoneBlock      `hcl:"zone,block"`
		Nodes      []nodesBlock     `hcl:"nodes,block"`
		Servers    []serversBlock   `hcl:"servers,block"`
		Classes    []classBlock     `hcl:"class,block"`
		Callers    *callersBlock    `hcl:"callers,block"`
		Links      []linkBlock      `hcl:"link,block"`
		Registry   *registryBlock   `hcl:"registry,block"`
		Faults     []faultBlock     `hcl:"fault,block"`
	}
	experimentBlock struct {
		Name    string   `hcl:"name,label"`
		Like    string   `hcl:"like,optional"`
		Note    string   `hcl:"note,optional"`
		Seed    uint64   `hcl:"seed,optional"`
		WarmUp  string   `hcl:"warm_up,optional"`
		Measure string   `hcl:"measure,optional"`
		Peers   string   `hcl:"peers,optional"`
		Fresh   string   `hcl:"fresh,optional"`
		Body    hcl.Body `hcl:",body"`
	}
	zoneBlock struct {
		Name   string   `hcl:"name,label"`
		Region string   `hcl:"region,optional"`
		Body   hcl.Body `hcl:",body"`
	}
	nodesBlock struct {
		Name  string   `hcl:"name,label"`
		Count int      `hcl:"count"`
		Zones []string `hcl:"zones,optional"`
		Times *float64 `hcl:"times,optional"`
		Asks  int      `hcl:"asks,optional"`
		Body  hcl.Body `hcl:",body"`
	}
	serversBlock struct {
		Name    string     `hcl:"name,label"`
		Count   int        `hcl:"count"`
		Zones   []string   `hcl:"zones,optional"`
		Slots   int        `hcl:"slots"`
		Queue   int        `hcl:"queue"`
		Service string     `hcl:"service"`
		Draw    string     `hcl:"draw,optional"`
		Size    float64    `hcl:"size,optional"`
		Reports bool       `hcl:"reports,optional"`
		Cold    *coldBlock `hcl:"cold,block"`
		Body    hcl.Body   `hcl:",body"`
	}
	coldBlock struct {
		From float64  `hcl:"from"`
		Over string   `hcl:"over"`
		Body hcl.Body `hcl:",body"`
	}
	classBlock struct {
		Name     string   `hcl:"name,label"`
		Effect   string   `hcl:"effect"`
		Aim      string   `hcl:"aim"`
		Deadline string   `hcl:"deadline"`
		Share    float64  `hcl:"share"`
		Worth    *float64 `hcl:"worth,optional"`
		Body     hcl.Body `hcl:",body"`
	}
	callersBlock struct {
		Rate        float64  `hcl:"rate,optional"`
		Utilisation float64  `hcl:"utilisation,optional"`
		Retries     int      `hcl:"retries,optional"`
		Wait        string   `hcl:"wait,optional"`
		Patience    string   `hcl:"patience,optional"`
		Body        hcl.Body `hcl:",body"`
	}
	linkBlock struct {
		From   string   `hcl:"from,label"`
		To     string   `hcl:"to,label"`
		Delay  string   `hcl:"delay"`
		Jitter string   `hcl:"jitter,optional"`
		Body   hcl.Body `hcl:",body"`
	}
	registryBlock struct {
		Lag     string   `hcl:"lag,optional"`
		LagMost string   `hcl:"lag_most,optional"`
		Body    hcl.Body `hcl:",body"`
	}
	faultBlock struct {
		Name      string   `hcl:"name,label"`
		Kind      string   `hcl:"kind"`
		From      string   `hcl:"from"`
		To        string   `hcl:"to"`
		Over      string   `hcl:"over,optional"`
		Near      []string `hcl:"near,optional"`
		Far       []string `hcl:"far,optional"`
		Both      bool     `hcl:"both,optional"`
		Part      *float64 `hcl:"part,optional"`
		Group     string   `hcl:"group,optional"`
		Count     int      `hcl:"count,optional"`
		Share     float64  `hcl:"share,optional"`
		Factor    float64  `hcl:"factor,optional"`
		Offset    string   `hcl:"offset,optional"`
		Delay     string   `hcl:"delay,optional"`
		Jitter    string   `hcl:"jitter,optional"`
		Loss      float64  `hcl:"loss,optional"`
		Double    float64  `hcl:"double,optional"`
		Reorder   float64  `hcl:"reorder,optional"`
		Bandwidth int64    `hcl:"bandwidth,optional"`
		Body      hcl.Body `hcl:",body"`
	}
)
