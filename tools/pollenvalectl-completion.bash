# Completion of pollenvalectl for bash: source this file.
_pollenvalectl() {
  local word=${COMP_WORDS[COMP_CWORD]} command= i
  for ((i = 1; i < COMP_CWORD; i++)); do
    case ${COMP_WORDS[i]} in
    -e | -t | -m | -k | --entry | --timeout | --mode | --class) ((i++)) ;;
    -*) ;;
    *) command=${COMP_WORDS[i]}; break ;;
    esac
  done
  case $word in
  -*)
    COMPREPLY=($(compgen -W "--entry= --json --timeout= --mode= --class= --version --commands --help --usage" -- "$word"))
    return ;;
  esac
  case $command in
  "") COMPREPLY=($(compgen -W "$(pollenvalectl --commands | awk '/^  / {print $1}')" -- "$word")) ;;
  publish | diff | validate | submit) COMPREPLY=($(compgen -f -- "$word")) ;;
  cancel | explain | job | wait)
    COMPREPLY=($(compgen -W "$(pollenvalectl --json jobs 2>/dev/null | grep -o '"job":"[^"]*"' | cut -d'"' -f4)" -- "$word")) ;;
  drain)
    COMPREPLY=($(compgen -W "$(pollenvalectl --json workers 2>/dev/null | grep -o '"worker":"[^"]*"' | cut -d'"' -f4) off" -- "$word")) ;;
  esac
}
complete -F _pollenvalectl pollenvalectl
