# The world of `testbed demo`.
experiment {
  title  = "A small world: one server drains, one crashes"
  mode   = "sockets"
  length = "9s"
  seeds  = [1]
}

world {
  balancers    = 2
  outer_limit  = "1800ms"
  setup_goal   = "300ms"
  message_goal = "250ms"
  message_each = "500ms"
  notice       = ["100ms", "400ms"]

  warmup {
    from = "20%"
    for  = "5s"
  }
  store {
    rate = 400
    time = "3ms"
  }
  server "std" {
    count   = 6
    cores   = 2
    fills   = 30
    setup   = "8ms"
    message = "10ms"
  }
}

load {
  standing = 120
  fill     = "2s"
  rate     = 12
  life     = "10s"
  groups   = 20
}

fault "drain" {
  at    = "3s"
  part  = 0.16
  drain = "2s"
}

fault "crash" {
  at   = "4s"
  for  = "2s"
  part = 0.16
}
