# A node for logging stations that post through a FastCGI bridge, beside others that speak HTTP/1.1: both go to the
# same servers, by the same rules. docs/operate/fastcgi.md tells what a bridge has to send.

node "bridge-1" {
  limits {
    memory      = "128MiB"
    descriptors = 1024
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

listener "stations" {
  address = "127.0.0.1:7070"
}

listener "bridge" {
  address  = "127.0.0.1:7071"
  protocol = "fastcgi"
}

pool "boxes" {
  connections {
    most = 128
  }

  server "box-1" {
    address = "127.0.0.1:9001"
  }

  server "box-2" {
    address = "127.0.0.1:9002"
  }
}

route "default" {
  default = true
  pool    = "boxes"
}
