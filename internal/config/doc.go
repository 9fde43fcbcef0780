// Package config reads a node's configuration, from the platform's JSON file or from an HCL file, into one checked model
// (Config), and derives from it what other packages use: fingerprints, balancer settings, quota terms and resource needs.
//
// A Config for which Check reports no error can be put in place, as far as this can be decided from the file alone. Every
// Problem names its position, what was found and what is allowed.
//
// The package reads files; it opens no socket and keeps no state. Putting a configuration in place is left to internal/node,
// comparing two of them to internal/plan, and storing them to internal/daemon and internal/state. The keys of files and
// records are mapped to Go names only here.
package config
