# A gateway of one of two partners; first-federation.sh puts names and addresses in the place of what stands between two @.
node "@NAME@" {
  admin_socket = "@DIR@/@NAME@.sock"

  limits {
    memory      = "128MiB"
    descriptors = 512
  }

  peers {
    listen   = "@HOST@:7946"
    key_file = "@DIR@/@PARTNER@.key"
    seeds    = ["@SEED@"]
  }
}

class "view" {
  effect   = "safe"
  aim      = "2s"
  deadline = "5s"

  custody {
    when_alone = "serve"
  }
}

listener "callers" {
  address = "@HOST@:7070"
}

listener "partners" {
  address = "@HOST@:7071"
}

pool "boxes" {
  server "box-1" {
    address = "@BOX@:9001"
  }

  server "box-2" {
    address = "@BOX@:9002"
  }
}

route "ours" {
  paths = ["/view/@PARTNER@/*"]
  pool  = "boxes"
}

federation "@PARTNER@" {
  listener = "partners"
}

partner "@OTHER@" {
  key_file = "@DIR@/both.key"
  gateways = ["@OTHERS@"]
  accept   = ["/view/@OTHER@/"]
}

export "views" {
  class = "view"
  path  = "/view/@PARTNER@/"
  all   = true
}
