package config

import (
	"strings"
	"testing"
	"time"
)

const validPlatformConfig = `{"name":"n3","listen":"127.0.0.1:7070","discovery":"127.0.0.1:8500",
	"seed":"fc1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
	"known":{"rev":41,"all":true,"targets":[]},
	"settings":{"lanes":[{"name":"view","effect":"read_like","target-ms":500,"deadline-ms":900}],
	"limits":{"conn-idle-ms":60000.0,"connect-timeout-ms":250.0,"max-attempts":4},"zone":"chavara","tick-ms":5}}`

func TestParsePlatform(t *testing.T) {
	cfg, start, err := ParsePlatform([]byte(validPlatformConfig))
	if err != nil {
		t.Fatal(err)
	}
	pool := cfg.Pools[0]
	if cfg.Node.Name != "n3" || cfg.Node.Zone != "chavara" || start.Seed != 0xfc1f30d27a5be964 || cfg.Node.Limits.Descriptors != 1024 ||
		cfg.Node.Limits.Memory != 192<<20 || time.Duration(pool.Connections.IdleTimeout) != time.Minute ||
		time.Duration(pool.Connections.ConnectTimeout) != 250*time.Millisecond || pool.MaxAttempts != 4 ||
		cfg.Listeners[0].Address != "127.0.0.1:7070" || pool.Registry.Address != "127.0.0.1:8500" {
		t.Errorf("got %+v", cfg)
	}
}

func TestParsePlatformErrorNamesField(t *testing.T) {
	for _, c := range [][3]string{
		{`"listen":"127.0.0.1:7070"`, `"listen":"nowhere"`, "listen"},
		{`"discovery":"127.0.0.1:8500"`, `"discovery":""`, "discovery"},
		{`"seed":"fc1f30d27a5be964"`, `"seed":"xyz"`, "seed"},
		{`"memory_mb":192`, `"memory_mb":0`, "memory_mb"},
		{`"sockets":1024`, `"sockets":5`, "sockets"},
		{`"settings":{`, `"other":{`, "settings"},
		{`"conn-idle-ms":60000.0`, `"conn-idle-ms":0`, "conn-idle-ms"},
		{`"connect-timeout-ms":250.0,`, ``, "connect-timeout-ms"},
		{`"target-ms":500`, `"target-ms":-1`, "LatencyObjective"},
		{`"name":"n3"`, `"name":3`, "name"},
		{`{"name":"n3"`, `"name":"n3"`, "config"},
	} {
		text := strings.Replace(validPlatformConfig, c[0], c[1], 1)
		if _, _, err := ParsePlatform([]byte(text)); text == validPlatformConfig || err == nil || !strings.Contains(err.Error(), c[2]) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want one line that names %s", c[1], err, c[2])
		}
	}
}
