# One of many nodes that know one another: beside its pool it names where others are, and the key that all share.
node "annot-1" {
  zone         = "chavara"
  admin_socket = "/run/damsontrestle/annot-1.sock"

  limits {
    memory      = "192MiB"
    descriptors = 512
  }

  peers {
    listen   = "127.0.0.1:7946"
    key_file = "/etc/damsontrestle/cluster.key"
    region   = "south"
    fresh    = "2s"
    seeds    = ["127.0.0.2:7946", "127.0.0.3:7946", "127.0.0.4:7946"]
  }
}

class "view" {
  effect   = "safe"
  aim      = "1s"
  deadline = "3s"
}

listener "callers" {
  address = "127.0.0.1:7070"
}

pool "boxes" {
  copies {
    count = 200
    index = 0
  }

  registry {
    address = "127.0.0.1:8500"
  }
}

route "all" {
  default = true
  pool    = "boxes"
}
