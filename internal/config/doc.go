// Package config reads a node's configuration, from the platform's JSON file or from an HCL file, into one checked model (Config),
// and derives from it what other packages take: fingerprints, settings of the balancer, quota terms, export rules.
//
// It promises that a Config which Check lets pass can be put in place as far as a file can tell, and that every Problem names its
// place, what was found and what is allowed. It opens no socket and keeps no state: putting a configuration in place is
// internal/node's, and keeping it internal/daemon's and internal/state's.
package config
