# Completion of grademux_sender for bash.
_grademux_sender() {
  local word=${COMP_WORDS[COMP_CWORD]} before=${COMP_WORDS[COMP_CWORD - 1]} command='' i
  for ((i = 1; i < COMP_CWORD; ++i)); do
    case ${COMP_WORDS[i]} in run | check | init | knowledge | fleet) command=${COMP_WORDS[i]} ;; esac
  done
  case $before in
    --daemon | --record)
      mapfile -t COMPREPLY < <(compgen -f -- "$word")
      return
      ;;
    --record-mb) return ;;
  esac
  case $command in
    check) mapfile -t COMPREPLY < <(compgen -f -W '--effective --help' -- "$word") ;;
    init) mapfile -t COMPREPLY < <(compgen -d -- "$word") ;;
    knowledge) mapfile -t COMPREPLY < <(compgen -d -W 'show forget --json --destination' -- "$word") ;;
    fleet) mapfile -t COMPREPLY < <(compgen -f -W 'status plan show propose bind halt revert shut-out readmit zones zone leave return hold release audit digest --daemon --store --prefix --why --by --json' -- "$word") ;;
    run) mapfile -t COMPREPLY < <(compgen -W '--daemon --help' -- "$word") ;;
    *)
      mapfile -t COMPREPLY < <(compgen -W 'run check init knowledge fleet --daemon --record --record-mb --version --help' -- "$word")
      ;;
  esac
}
complete -o filenames -F _grademux_sender grademux_sender
