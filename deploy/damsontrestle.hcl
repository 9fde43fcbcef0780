# A node of our own for the annotation service: views from the reading rooms, notes and intervals from the
# trays. docs/operate/configuration.md explains every block and field; `damsontrestle validate FILE` checks a
# file, `plan` and `apply` change a running node.

node "annot-1" {
  zone         = "chavara"
  state_folder = "/var/lib/damsontrestle"
  admin_socket = "/run/damsontrestle/admin.sock"
  management   = "127.0.0.1:9100" # docs/operate/on-call.md

  limits {
    memory      = "192MiB"
    descriptors = 1024
    cores       = 1
  }
}

class "view-interval" {
  effect   = "safe"
  aim      = "1.5s"
  deadline = "4s"
  worth    = 12
}

class "add-note" {
  effect   = "unsafe"
  aim      = "1.5s"
  deadline = "4s"
}

class "log-interval" {
  effect   = "unsafe"
  aim      = "1.5s"
  deadline = "4s"
}

listener "stations" {
  address = "127.0.0.1:7070"
}

listener "bridge" {
  address = "127.0.0.1:7071"
  paths   = "normalize"
}

# The log servers of this site, as the registry lists them.
pool "boxes" {
  attempts = 4

  copies {
    count = 60
    index = 0
  }

  connections {
    most            = 320
    idle            = "60s"
    connect_timeout = "250ms"
  }

  slow_start {
    from = 0.13
    over = "20s"
  }

  # Load reports of servers in X-Load; four servers are polled before a request goes to one.
  load_reports {
    busy = "inflight"
    ask  = 4
  }

  registry {
    address = "127.0.0.1:8500"
    mode    = "pushed"
  }
}

# A build of the log server that is tried with a tenth of the views.
pool "candidate" {
  attempts = 2

  connections {
    most = 32
  }

  server "c1" {
    address = "127.0.0.1:9101"
    zone    = "chavara"
  }

  server "c2" {
    address = "127.0.0.1:9102"
    zone    = "karunagappally"
    size    = 0.5
  }
}

route "views" {
  classes = ["view-interval"]

  to "boxes" {
    weight = 9
  }

  to "candidate" {
    weight = 1
  }
}

route "candidate-by-hand" {
  classes = ["view-interval"]

  header "X-Candidate" {
    equals = "1"
  }

  pool = "candidate"
}

route "default" {
  default = true
  pool    = "boxes"
}
