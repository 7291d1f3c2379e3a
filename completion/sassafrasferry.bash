# Bash completion for sassafrasferry. Source it, or put it into the folder of completions.
_sassafrasferry() {
    local word=${COMP_WORDS[COMP_CWORD]}
    local commands="check show get diff apply history watch status upstreams explain waves wave"
    case ${COMP_WORDS[COMP_CWORD - 1]} in
    check | diff) COMPREPLY=($(compgen -f -- "$word")) ; return ;;
    wave) COMPREPLY=($(compgen -W "start halt resume" -- "$word")) ; return ;;
    show | get | apply)
        local sections
        sections=$(sassafrasferry show 2>/dev/null | sed -n 's/^# section \([^,]*\),.*/\1/p')
        COMPREPLY=($(compgen -W "$sections" -- "$word"))
        return
        ;;
    esac
    if [ "$COMP_CWORD" -eq 1 ]; then
        COMPREPLY=($(compgen -W "$commands --help --version" -- "$word"))
    else
        COMPREPLY=($(compgen -f -W "--admin --wait --after --revision" -- "$word"))
    fi
}
complete -F _sassafrasferry sassafrasferry
