# Servers at their limit of connections, and eighty balancers that hold a few each; in virtual time, our own figures.
experiment {
  title  = "Servers at their limit of connections while a part of them crashes"
  mode   = "virtual"
  length = "45s"
  seeds  = [1, 2]
}

world {
  balancers    = 80
  zones        = 3
  outer_limit  = "1800ms"
  setup_goal   = "300ms"
  message_goal = "250ms"
  group_cost   = 2
  sheds        = "2s"
  notice       = ["500ms", "2s"]

  warmup {
    from     = "16%"
    for      = "23s"
    multiple = 3
    within   = "1500ms"
  }
  store {
    rate = 120
    time = "20ms"
    wait = "2s"
  }
  server "fast" {
    count = 20
    cores = 3
    speed = 2
    fills = 30
    most  = 32
  }
  server "mid" {
    count = 20
    cores = 3
    speed = 1.2
    fills = 30
    most  = 32
  }
  server "slow" {
    count = 20
    cores = 3
    speed = 0.8
    fills = 30
    most  = 32
  }
}

load {
  standing = 1600
  fill     = "15s"
  rate     = 16
  life     = "100s"
  groups   = 150
  spread   = 0.5
}

fault "crash" {
  at   = "20s"
  for  = "8s"
  part = "20%"
}

arm "ours" {
  policy = "ours"
}
arm "random" {
  policy = "random"
}
