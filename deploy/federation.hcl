# A gateway of chavara, one of three partners: its own servers, what it exports to others, what it accepts of theirs, and a quota
# that all draw from. docs/operate/federation.md explains it.
node "annot-1" {
  zone         = "east"
  state_folder = "/var/lib/damsontrestle"
  admin_socket = "/run/damsontrestle/admin.sock"

  limits {
    memory      = "192MiB"
    descriptors = 1024
  }

  peers {
    listen   = "127.0.0.1:7946" # datagrams of the group by UDP, links by TCP
    key_file = "/etc/damsontrestle/chavara.key"
    seeds    = ["127.0.0.2:7946", "127.0.0.3:7946"]
  }
}

class "view" {
  effect   = "safe"
  aim      = "1s"
  deadline = "3s"

  custody {
    when_alone = "serve"
  }
}

class "note" {
  effect   = "unsafe"
  aim      = "1s"
  deadline = "3s"

  custody {
    when_alone = "refuse"
  }
}

listener "stations" {
  address = "127.0.0.1:7070"
}

listener "partners" {
  address = "127.0.0.1:7071"
}

pool "boxes" {
  server "box-1" {
    address = "127.0.0.1:9001"
  }

  server "box-2" {
    address = "127.0.0.1:9002"
  }
}

route "ours" {
  paths = ["/view/chavara/*", "/note/chavara/*"]
  pool  = "boxes"
}

federation "chavara" {
  listener = "partners"
  memory   = "16MiB"
  keep     = "30s"
  stale    = "30s"
}

partner "karunagappally" {
  key_file = "/etc/damsontrestle/chavara-karunagappally.key"
  gateways = ["127.0.1.1:7946", "127.0.1.2:7946"]
  accept   = ["/view/karunagappally/", "/note/karunagappally/", "/view/wells/"]
}

partner "drilling" {
  key_file    = "/etc/damsontrestle/chavara-drilling.key"
  gateways    = ["127.0.2.1:7946"]
  accept      = ["/view/wells/"]
  deny        = ["/view/wells/private/"]
  preference  = 200
  most_offers = 100
  pass_on_to  = ["karunagappally"]
}

# Views of our intervals are for all, and may be passed on once; notes only for the other site, and from there no further.
export "views" {
  class   = "view"
  path    = "/view/chavara/"
  all     = true
  transit = true
  hands   = 2
}

export "notes" {
  class    = "note"
  path     = "/note/chavara/"
  to       = ["karunagappally"]
  effects  = ["unsafe"]
  excluded = ["trial"]
}

# Sixty notes a second over all partners together.
quota "notes" {
  rate     = 60
  burst    = 60
  wait     = "50ms"
  when_cut = "floor"
  classes  = ["note"]

  keeper "chavara/annot-1" {
    address = "127.0.0.1:7946"
  }

  keeper "karunagappally/annot-1" {
    address = "127.0.1.1:7946"
  }

  keeper "drilling/gw" {
    address = "127.0.2.1:7946"
  }

  partner "chavara" {
    floor    = 10
    weight   = 2
    gateways = 3
  }

  partner "karunagappally" {
    floor    = 10
    gateways = 2
  }

  partner "drilling" {
    gateways = 1
  }
}
