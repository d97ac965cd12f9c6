grammar Records;

// Typed records in the manner of CUE: fields with values or constraints, definitions (#Name), unification with &,
// alternatives with |, defaults with *, bounds, lists, references, numbers with units.

file : field* EOF ;

field : label=(IDENT | DEFINITION | STRING) optional='?'? ':' (nested=field | expr ','?) ;

expr : meet ('|' meet)* ;

meet : unary ('&' unary)* ;

unary
    : '*' unary                              # preferred
    | op=('>=' | '<=' | '>' | '<' | '!=') NUMBER  # bound
    | primary                                # plain
    ;

primary
    : '{' field* '...'? '}'                  # record
    | '[' (expr (',' expr)* ','?)? ']'       # list
    | '[' '...' expr ']'                     # listOf
    | STRING                                 # string
    | NUMBER                                 # number
    | (TRUE | FALSE)                         # truth
    | name=(IDENT | DEFINITION) ('.' IDENT)* # reference
    | '(' expr ')'                           # group
    ;

TRUE : 'true' ;
FALSE : 'false' ;
NUMBER : '-'? [0-9] [0-9_]* ('.' [0-9]+)? ('ms' | 's' | 'min' | '%' | '/s' | 'k')? ;
IDENT : [a-zA-Z_] [a-zA-Z0-9_]* ;
DEFINITION : '#' [a-zA-Z_] [a-zA-Z0-9_]* ;
STRING : '"' (~["\\\r\n] | '\\' ["\\nt])* '"' ;
COMMENT : '//' ~[\r\n]* -> skip ;
SPACE : [ \t\r\n]+ -> skip ;
