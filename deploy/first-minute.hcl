# The node of the first minute: two test servers behind one listener. deploy/first-minute.sh runs it.

node "first" {
  state_folder = "/tmp/damsontrestle-first-minute/state"
  admin_socket = "/tmp/damsontrestle-first-minute/admin"

  limits {
    memory      = "64MiB"
    descriptors = 256
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

pool "boxes" {
  connections {
    most = 32
  }

  server "box-1" {
    address = "127.0.0.1:9001"
  }
}

route "default" {
  default = true
  pool    = "boxes"
}
